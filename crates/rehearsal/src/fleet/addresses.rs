//! Free loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use crate::error::RehearsalError;

/// First of the second octets that fleets use; keeps clear of 127.0.0.1 and of the last address.
const FIRST_SECOND_OCTET: u8 = 64;

/// Finds `count` addresses on which nothing listens.
///
/// They are of a loopback host derived from the process id: between the search and the start of
/// the processes, the ports of other fleets and of outgoing connections are not in the way.
///
/// # Errors
/// [`RehearsalError::Resource`] when no port is free.
pub fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, RehearsalError> {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let host = IpAddr::V4(Ipv4Addr::new(127, FIRST_SECOND_OCTET + high % 64, middle, low));
    let resource = |error| RehearsalError::resource(host, error);
    // All are held until the last is found, so that none is found twice.
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind((host, 0)).map_err(resource))
        .collect::<Result<_, _>>()?;
    listeners.iter().map(|listener| listener.local_addr().map_err(resource)).collect()
}
