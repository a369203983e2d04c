//! Operators' calls to a group: over the loopback address that its file names.

use argh::FromArgs;
use milletwing_admin as admin;
use milletwing_group_server::admin::Call;
use milletwing_group_server::settings::Settings;
use milletwing_group_server::store::Store;
use serde_json::Value;

/// Calls to a group of instances that judge as one; each takes the operator's file.
#[derive(FromArgs)]
#[argh(subcommand, name = "group")]
pub struct Group {
    #[argh(subcommand)]
    call: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Check(Check),
    Init(Init),
    Join(Join),
    Status(Status),
    Transfer(Transfer),
    Add(Add),
    Remove(Remove),
}

/// Reads the file and tells what an instance would do with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the operator's file
    #[argh(option, default = "default()")]
    group: String,
}

/// Makes the store of a founding member; once for each of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "init")]
struct Init {
    /// the operator's file
    #[argh(option, default = "default()")]
    group: String,
}

/// Makes an empty store for a member that is yet to be added.
#[derive(FromArgs)]
#[argh(subcommand, name = "join")]
struct Join {
    /// the operator's file
    #[argh(option, default = "default()")]
    group: String,
}

/// Tells how the instance stands.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct Status {
    /// the operator's file
    #[argh(option, default = "default()")]
    group: String,
    /// as JSON, for scripts
    #[argh(switch)]
    json: bool,
}

/// Hands leadership to another member; asked of the one that leads.
#[derive(FromArgs)]
#[argh(subcommand, name = "transfer")]
struct Transfer {
    /// the operator's file
    #[argh(option, default = "default()")]
    group: String,
    /// the member's number
    #[argh(positional)]
    to: u64,
}

/// Adds a member, which votes once it has caught up; asked of the one that leads.
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
struct Add {
    /// the operator's file
    #[argh(option, default = "default()")]
    group: String,
    /// the member's number, never used before
    #[argh(positional)]
    member: u64,
    /// where it listens for peers
    #[argh(positional)]
    address: String,
}

/// Removes a member for good; asked of the one that leads.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
struct Remove {
    /// the operator's file
    #[argh(option, default = "default()")]
    group: String,
    /// the member's number
    #[argh(positional)]
    member: u64,
}

fn default() -> String {
    "deploy/group.json5".into()
}

fn ask(file: &str, call: &Call) -> Result<Value, String> {
    admin::call(Settings::from_file(file)?.admin, call)
}

/// Carries a call out.
pub fn run(group: Group) -> Result<(), String> {
    match group.call {
        What::Check(Check { group }) => println!("{}", Settings::from_file(&group)?.summary()),
        What::Init(Init { group }) => {
            Store::make(&Settings::from_file(&group)?, true)?;
            println!("the store is made; start this member with `milletwing serve --group {group}`");
        }
        What::Join(Join { group }) => {
            let settings = Settings::from_file(&group)?;
            Store::make(&settings, false)?;
            let (member, listen) = (settings.member, settings.listen);
            println!("the store is made; start this member, then on the leader: milletwing group add {member} {listen}");
        }
        What::Status(Status { group, json }) => {
            let status = ask(&group, &Call::Status)?;
            if json {
                println!("{status}");
            } else {
                print!("{}", told(&status));
            }
        }
        What::Transfer(Transfer { group, to }) => {
            ask(&group, &Call::Transfer { to })?;
            println!("handing over to member {to}; `milletwing group status` tells when it leads");
        }
        What::Add(Add { group, member, address }) => {
            ask(&group, &Call::Add { member, address })?;
            println!("adding member {member}; it is a learner until it has caught up");
        }
        What::Remove(Remove { group, member }) => {
            ask(&group, &Call::Remove { member })?;
            println!("removing member {member}; its number is not given again");
        }
    }
    Ok(())
}

/// The status in lines for people.
fn told(status: &Value) -> String {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let mut out = format!(
        "member {} of group {}: {} in term {}, leader {}, lease {} ms\n",
        text(&status["member"]),
        text(&status["group"]),
        if status["leads"] == true { "leads" } else { "follows" },
        text(&status["term"]),
        text(&status["leader"]),
        text(&status["lease_ms"]),
    );
    if let Some(build) = status["build"].as_object() {
        let fields: Vec<String> =
            build.iter().map(|(name, value)| format!("{name} {}", text(value))).collect();
        out += &format!("build: {}\n", fields.join(", "));
    }
    out += &format!("grant: {}\n", text(&status["grant"]));
    for (id, member) in status["members"].as_object().into_iter().flatten() {
        out += &format!("member {id}: {} at {}", text(&member["role"]), text(&member["address"]));
        let behind = member["behind"].as_u64().map(|behind| format!(", {behind} entries behind"));
        out += &format!("{}\n", behind.unwrap_or_default());
    }
    for (why, count) in status["troubles"].as_object().into_iter().flatten() {
        out += &format!("trouble: {why}: {count}\n");
    }
    out
}
