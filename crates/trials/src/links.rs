//! Links between instances that can be cut: each passes bytes one way to one instance. A cut link is silent, as a
//! network is: what is on it stays on it, and comes late once it is whole again.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// A link.
pub struct Link {
    /// Where the sender connects.
    pub at: SocketAddr,
    cut: Arc<AtomicBool>,
}

fn pass(mut from: &TcpStream, mut to: &TcpStream, cut: &AtomicBool) -> io::Result<()> {
    from.set_read_timeout(Some(Duration::from_millis(20)))?;
    let mut chunk = [0; 16 << 10];
    loop {
        let read = match from.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(read) => read,
            Err(problem) if matches!(problem.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                continue
            }
            Err(problem) => return Err(problem),
        };
        while cut.load(SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
        to.write_all(&chunk[..read])?;
    }
}

impl Link {
    /// A whole link to an address.
    pub fn start(to: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let at = listener.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        let shared = cut.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let cut = shared.clone();
                std::thread::spawn(move || {
                    while cut.load(SeqCst) {
                        std::thread::sleep(Duration::from_millis(5));
                    }
                    let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else { return };
                    let near = Arc::new(near);
                    let far = Arc::new(far);
                    let back = (far.clone(), near.clone(), cut.clone());
                    std::thread::spawn(move || {
                        let _ = pass(&back.0, &back.1, &back.2); // an end of either side ends both
                        let _ = back.1.shutdown(Shutdown::Both);
                    });
                    let _ = pass(&near, &far, &cut); // the same
                    let _ = near.shutdown(Shutdown::Both);
                    let _ = far.shutdown(Shutdown::Both);
                });
            }
        });
        Ok(Link { at, cut })
    }

    /// Cuts it, or makes it whole.
    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, SeqCst);
    }
}
