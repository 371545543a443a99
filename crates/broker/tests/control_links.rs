//! The broker's way to a control process that serves it.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::broker::Broker;
use support::closed_address;
use support::control::{ScriptedControl, catalog};

/// Longest that the broker may take; three connections that are waited for in turn take longer.
const LIMIT: Duration = Duration::from_millis(1_200);

/// An address whose host says nothing to a new connection, as one without power does.
struct SilentHost {
    address: SocketAddr,
    _listener: TcpListener,
    _waiting: Vec<TcpStream>,
}

impl SilentHost {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(100)).ok();
        // Once its queue is full, further connections are not answered.
        let waiting = std::iter::from_fn(connect).collect();
        Self { address, _listener: listener, _waiting: waiting }
    }
}

#[test]
fn control_processes_that_say_nothing_do_not_hold_up_the_one_that_serves() {
    let silent: Vec<SilentHost> = (0..6).map(|_| SilentHost::start()).collect();
    let silent: Vec<SocketAddr> = silent.iter().map(|host| host.address).collect();
    // The order in which they are tried begins anywhere.
    for _ in 0..4 {
        let control = ScriptedControl::serve(&catalog(&[&[closed_address()]]));
        let began = Instant::now();
        let broker = Broker::start_among(&silent, control, "control_pause_ms = 100");
        let took = began.elapsed();
        assert!(took < LIMIT, "{took:?}\n{}", broker.log());
    }
}
