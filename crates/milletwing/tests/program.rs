//! The program itself: its signs and its end.

use milletwing_toy::discovery::{Discovery, Host};
use milletwing_toy::node::{Node, Reply};
use milletwing_toy::platform::Platform;
use milletwing_toy::read_message;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::thread::sleep;
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../examples/marshal.json");

/// Ended with the test, whatever becomes of it.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..2000 {
        if holds() {
            return;
        }
        sleep(Duration::from_millis(10));
    }
    panic!("never: {what}");
}

fn status(listen: SocketAddr, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(listen).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    Some(read_message(&stream, &mut Vec::new()).ok()??.word(1).to_string())
}

/// Guards against a hang-up that ends the program, and against the variable, which still names the old address.
#[test]
fn at_a_hang_up_the_file_is_read_again_and_the_sign_to_stop_still_ends_it_well() {
    let node = Node::start("127.0.0.1:0", |_| Reply::Answer(200, b"ok".to_vec())).unwrap();
    let host = [Host::new("n0", node.addr, 1)];
    let start = || {
        let discovery = Discovery::start("127.0.0.1:0", &host).unwrap();
        let platform = Platform::start("127.0.0.1:0", "1 2 live 1 60000", |_| None).unwrap();
        (discovery, platform)
    };
    let places = [start(), start()];
    let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let text = |(discovery, platform): &(Discovery, Platform)| {
        EXAMPLE
            .replace("127.0.0.1:4000", &listen.to_string())
            .replace("127.0.0.1:4104", &discovery.addr.to_string())
            .replace("127.0.0.1:4105", &platform.addr.to_string())
    };
    let folder = std::env::temp_dir().join(format!("milletwing-program-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("marshal.json");
    std::fs::write(&file, text(&places[0])).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_milletwing"))
        .args(["serve", "--config"])
        .arg(&file)
        .env("GW_DISCOVERY", places[0].0.addr.to_string())
        .spawn()
        .unwrap();
    let mut program = Program(child);
    let sign = |name: &str| {
        let sent = Command::new("sh").args(["-c", &format!("kill -{name} {}", program.0.id())]).status();
        assert!(sent.unwrap().success());
    };
    until("it is ready", || status(listen, "GET /up HTTP/1.1\r\n\r\n").as_deref() == Some("200"));
    until("it subscribes", || places[0].1.subscribed() == 1);
    std::fs::write(&file, &text(&places[1])[..40]).unwrap();
    sign("HUP");
    std::fs::write(&file, text(&places[1])).unwrap();
    sign("HUP");
    sign("HUP");
    until("the new platform is used", || places[1].1.subscribed() == 1);
    until("the new discovery is used", || !places[1].0.calls().is_empty());
    let ask = "GET /api HTTP/1.1\r\nX-Txn: p1\r\nX-Lane: lookup\r\nX-Remaining: 9000m\r\n\r\n";
    assert_eq!(status(listen, ask).as_deref(), Some("200"));
    sign("TERM");
    sign("HUP");
    let ended = program.0.wait().unwrap();
    assert!(ended.success(), "{ended}");
    let _ = std::fs::remove_dir_all(&folder); // the next run has another
}
