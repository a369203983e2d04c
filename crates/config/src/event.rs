//! The numbered events of the logs; `docs/events.md` is their catalogue, held against this list by a test.

use derive_more::Display;

macro_rules! events {
    ($($number:literal $name:ident $level:ident $what:literal,)*) => {
        /// An event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
        pub enum Event { $(#[doc = $what] #[display($number)] $name,)* }

        impl Event {
            /// All of them: number, name, level and what each tells.
            pub const ALL: &'static [(&'static str, &'static str, log::Level, &'static str)] =
                &[$(($number, stringify!($name), log::Level::$level, $what),)*];

            /// How grave it is.
            pub fn level(self) -> log::Level {
                match self { $(Event::$name => log::Level::$level,)* }
            }
        }
    };
}

events! {
    "M100" Started Info "a process is up, with its role and addresses",
    "M101" BadSettings Error "the settings can't be used: which field",
    "M102" SettingsRead Info "the settings were read again",
    "M103" Term Info "SIGTERM: leaving in order",
    "M104" Ended Info "all is finished, the process ends",
    "M105" MetricsUnavailable Warn "the port of the metrics can't be had: the process goes on without them",
    "M110" DiskLost Warn "the disk is empty or damaged: this machine counts again once it has caught up",
    "M111" DiskFailed Error "the disk refuses or hangs: nothing more is promised until it is back; it is tried again",
    "M112" DiskBack Info "the disk takes writes again, and for how long it did not",
    "M113" DiskUnusable Error "the file or the state in it can't be used: the process ends, the next start asks the others",
    "M120" Leads Info "this machine leads the core",
    "M121" Follows Info "this machine follows, or knows no leader",
    "M122" Whole Info "a machine that had lost its disk counts again",
    "M123" Members Info "who votes in the core has changed",
    "M124" LossesBorne Warn "how many further losses of core machines are borne right now has changed",
    "M125" LeavesEarly Warn "this machine stops though others may not hold everything yet",
    "M126" StartConfirmed Info "a machine of the core has asked the others since its start and goes on from its disk",
    "M127" DiskBehind Warn "the others hold more than this machine's disk: it counts again once it has caught up",
    "M130" Configured Info "a configuration is in force, and what it changes",
    "M131" Refused Info "a configuration or order was refused, with the reason",
    "M132" Evacuated Info "a zone is emptied, or taken back",
    "M133" RollOut Info "a roll-out began, moved or ended; at the leader with the evidence",
    "M134" PassedOver Warn "a configuration that was taken has fields that this version passes over: which",
    "M140" NodeUp Info "a marshal is known",
    "M141" NodeDrains Info "a marshal drains",
    "M142" NodeGone Info "a marshal has left, was replaced at its address, or is silent",
    "M143" NodeWarm Debug "a marshal is warm",
    "M150" FeedUp Info "an edge has a core that tells it what changes",
    "M151" FeedLost Warn "an edge's core went silent or lags: it moves to another",
    "M160" RequestEnded Debug "a request ended without a marshal's answer, with its id and kind",
    "M161" TryEnded Debug "one sending of a request ended badly, with id, marshal and cause",
    "M162" NodeAvoided Info "a marshal can't be reached: avoided for a while",
    "M163" Suspected Info "a marshal is taken out as edges find it gone, looked at, or back",
    "M164" ConnectionBroken Debug "a connection to a marshal ended under a request, with id, marshal and the network's own word",
    "M170" Drifted Warn "an edge routes by something else than what was agreed: which, since when, and how it shows",
    "M171" Repairs Warn "a step to bring a drifted edge back, as agreed or as the edge takes it",
    "M172" Recovered Info "an edge that had drifted routes by what was agreed again",
    "M173" AllDrift Error "most edges seem to have drifted: the core's own view is in doubt, nothing is done to any",
    "M174" CoreDiffers Error "another machine of the core has folded the same entries to something else",
}

/// Writes an event.
#[macro_export]
macro_rules! event {
    ($event:ident, $($rest:tt)+) => {{
        let event = $crate::Event::$event;
        log::log!(event.level(), "{event} {}", format_args!($($rest)+))
    }};
}

/// Sends the log to standard output: `[time] level event text`. `level` is one of `log`'s names; others mean `info`.
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
        let _ = log4rs::init_config(config); // a second start in one process keeps the first's
    }
}
