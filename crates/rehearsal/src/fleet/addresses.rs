//! Free loopback addresses.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

use crate::error::RehearsalError;

/// First of the second octets that fleets use; keeps clear of 127.0.0.1 and of the last address.
const FIRST_SECOND_OCTET: u8 = 64;

/// Addresses that were given out: a program that binds its address shares it with whoever listens
/// there already, so that two fleets with one address in common would answer for each other.
static GIVEN: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// Finds `count` addresses on which nothing listens, and which no other call was given.
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
    let mut given = GIVEN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let mut addresses = Vec::with_capacity(count);
    // All are held until the last is found, so that none is found twice.
    let mut held = Vec::new();
    while addresses.len() < count {
        let listener = TcpListener::bind((host, 0)).map_err(resource)?;
        let address = listener.local_addr().map_err(resource)?;
        held.push(listener);
        if given.insert(address) {
            addresses.push(address);
        }
    }
    Ok(addresses)
}
