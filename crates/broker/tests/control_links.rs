//! Connecting to a control process while others do not respond.

mod support;

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use support::broker::Broker;
use support::closed_address;
use support::control::{ScriptedControl, catalog};

/// Time limit for the connection; three sequential connect timeouts take longer.
const LIMIT: Duration = Duration::from_millis(1_200);

/// An address that does not answer connection attempts, like a host without power.
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
        // With a full accept queue, further connection attempts are not answered.
        let waiting = std::iter::from_fn(connect).collect();
        Self { address, _listener: listener, _waiting: waiting }
    }
}

#[test]
fn unresponsive_control_processes_do_not_delay_the_connection() {
    let silent: Vec<SilentHost> = (0..6).map(|_| SilentHost::start()).collect();
    let silent: Vec<SocketAddr> = silent.iter().map(|host| host.address).collect();
    // The order of attempts starts at a random address.
    for _ in 0..4 {
        let control = ScriptedControl::serve(&catalog(&[&[closed_address()]]));
        let began = Instant::now();
        let broker = Broker::start_among(&silent, control, "control_pause_ms = 100");
        let took = began.elapsed();
        assert!(took < LIMIT, "{took:?}\n{}", broker.log());
    }
}
