//! Encoded size of a list of thousands of leaves, which is sent to hundreds of brokers.

use gingerkeel_domain::directory::{
    DirectoryDelta, DirectoryVersion, LeafAvailability, ListedLeaf,
};
use gingerkeel_domain::identifiers::{LeafIdentity, ServiceName, SoftwareVersion, ZoneName};
use gingerkeel_protocol::{encode_document, pack_document};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64;

/// Number of leaves in the largest planned cluster.
const LEAVES: u32 = 13_000;
/// Maximum packed size per leaf: a control process sends the list to 200 brokers when it starts.
const MAXIMUM_BYTES_PER_LEAF: usize = 24;

fn list() -> DirectoryDelta {
    let mut random = Pcg64::seed_from_u64(1);
    let leaf = |number: u32| {
        let zone = number % 6;
        ListedLeaf {
            identity: LeafIdentity::new(format!("i-{:010x}", random.next_u64() >> 24)),
            service: ServiceName::new(format!("svc{:02}{}", number / 42 % 90, number / 3_780)),
            address: ([10, zone as u8 + 1, (number / 250) as u8, (number % 250) as u8], 8_000)
                .into(),
            zone: ZoneName::new(format!("hall-{zone}")),
            slots: 7,
            availability: LeafAvailability::Ready,
            cold_ms: 0,
            version: SoftwareVersion::new("v1"),
        }
    };
    let changed = (0..LEAVES).map(leaf).collect();
    DirectoryDelta { base: DirectoryVersion(0), changed, gone: Vec::new() }
}

#[test]
fn packed_list_stays_within_the_size_limit() {
    let list = list();
    let plain = encode_document(&list).expect("a document").len() / LEAVES as usize;
    let packed = pack_document(&list).expect("a document").len() / LEAVES as usize;
    println!("{plain} bytes a leaf, {packed} packed");
    assert!(packed <= MAXIMUM_BYTES_PER_LEAF, "{packed} bytes a leaf");
}
