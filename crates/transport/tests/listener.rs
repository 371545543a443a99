//! A second listener on an address is refused.

use std::io::ErrorKind;

use gingerkeel_transport::{block_on, listen};

#[test]
fn address_in_use_is_refused() {
    block_on(async {
        let first = listen("127.0.0.1:0".parse().unwrap()).unwrap();
        let second = listen(first.local_addr().unwrap());
        assert_eq!(second.err().map(|error| error.kind()), Some(ErrorKind::AddrInUse));
    })
    .unwrap();
}
