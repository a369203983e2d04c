//! The numbered log events. A test keeps the catalogue in `docs/events.md` in sync with this list.

use derive_more::Display;

macro_rules! events {
    ($($number:literal $name:ident $level:ident $description:literal,)*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
        pub enum Event { $(#[doc = $description] #[display($number)] $name,)* }

        impl Event {
            /// All events: number, name, level and description.
            pub const ALL: &'static [(&'static str, &'static str, log::Level, &'static str)] =
                &[$(($number, stringify!($name), log::Level::$level, $description),)*];

            /// The log level of the event.
            pub fn level(self) -> log::Level {
                match self { $(Event::$name => log::Level::$level,)* }
            }
        }
    };
}

events! {
    "M100" Started Info "the process has started, with its role and addresses",
    "M101" BadSettings Error "the settings are invalid: the field",
    "M102" SettingsRead Info "the settings were reloaded",
    "M103" Term Info "SIGTERM received, shutting down gracefully",
    "M104" Ended Info "all work is complete, the process exits",
    "M105" MetricsUnavailable Warn "the metrics port cannot be bound, the process runs without metrics",
    "M110" DiskLost Warn "the disk is empty or damaged, this machine votes again once it has caught up",
    "M111" DiskFailed Error "the disk fails or hangs, nothing is acknowledged until it recovers; writes are retried",
    "M112" DiskBack Info "the disk accepts writes again, and for how long it did not",
    "M113" DiskUnusable Error "the file or the state in it cannot be used, the process exits and recovers from the other machines after a restart",
    "M120" Leads Info "this machine has become the leader of the core, and how many marshals it keeps cold, and how long",
    "M121" Follows Info "this machine is a follower, or knows no leader",
    "M122" Whole Info "a machine that had lost its disk has caught up and votes again",
    "M123" Members Info "the set of voting core machines has changed",
    "M124" LossesBorne Warn "the number of further losses of core machines that can be tolerated has changed",
    "M125" LeavesEarly Warn "this machine stops although other machines may not hold all entries yet",
    "M126" StartConfirmed Info "a core machine has asked the others after its start and continues from its disk",
    "M127" DiskBehind Warn "the others hold more than this machine's disk, it votes again once it has caught up",
    "M130" Configured Info "a configuration is in force, and what it changes",
    "M131" Refused Info "a configuration or order was refused, with the reason",
    "M132" Evacuated Info "a zone was evacuated or returned to service, as of which entry; on core machines and edges",
    "M133" RollOut Info "a roll-out started, advanced or ended; on the leader with the evidence",
    "M134" PassedOver Warn "an accepted configuration has fields that this version ignores: which",
    "M135" Ordered Info "an operator's order about a zone or service was answered here, or the leader proposed an entry about a zone: for which order, or by its clock",
    "M140" NodeUp Info "a marshal was added",
    "M141" NodeDrains Info "a marshal is draining",
    "M142" NodeGone Info "a marshal has deregistered, was replaced at its address or is silent",
    "M143" NodeWarm Debug "a marshal is warm",
    "M150" FeedUp Info "an edge is connected to a core machine and receives updates",
    "M151" FeedLost Warn "an edge's core machine is silent or lags, the edge connects to another",
    "M160" RequestEnded Debug "a request ended without a response from a marshal, with its id and kind",
    "M161" TryEnded Debug "an attempt to send a request failed, with id, marshal and cause",
    "M162" NodeAvoided Info "a marshal is unreachable and avoided for a while",
    "M163" Suspected Info "a marshal that edges cannot reach was taken out of service, is being probed or is back",
    "M164" ConnectionBroken Debug "a connection to a marshal broke during a request, with id, marshal and the network's error",
    "M165" ShutdownAdmission Debug "a request came during the shutdown of an edge: accepted or refused, with its id and the times that decided",
    "M170" Drifted Warn "an edge does not route by the committed state: which edge, since when and how it shows",
    "M171" Repairs Warn "a step to repair a drifted edge was committed, or the edge executes it",
    "M172" Recovered Info "a drifted edge routes by the committed state again",
    "M173" AllDrift Error "most edges seem to have drifted: the core's own state is in doubt, no edge is repaired",
    "M174" CoreDiffers Error "another core machine computed a different state from the same entries",
}

/// Logs an event.
#[macro_export]
macro_rules! event {
    ($event:ident, $($rest:tt)+) => {{
        let event = $crate::Event::$event;
        log::log!(event.level(), "{event} {}", format_args!($($rest)+))
    }};
}

/// Starts logging to standard output, one line per record: `level event text`. `level` is the name of a level of the `log`
/// crate; any other value means `info`.
pub fn init_logging(level: &str) {
    use log4rs::append::console::ConsoleAppender;
    use log4rs::config::{Appender, Config, Root};
    use log4rs::encode::pattern::PatternEncoder;
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    let pattern = Box::new(PatternEncoder::new("{l} {m}{n}"));
    let console = ConsoleAppender::builder().encoder(pattern).build();
    let config = Config::builder()
        .appender(Appender::builder().build("out", Box::new(console)))
        .build(Root::builder().appender("out").build(level));
    if let Ok(config) = config {
        let _ = log4rs::init_config(config); // fails if logging is already initialized, which then remains in effect
    }
}
