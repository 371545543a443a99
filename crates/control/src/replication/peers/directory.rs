//! Identities of the peers, from the settings and from their handshakes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use gingerkeel_domain::consensus::{Incarnation, MemberId, NodeNumber};
use gingerkeel_protocol::{PROTOCOL_VERSION, PeerFrame, PeerIdentity, PeerRefusal};
use gingerkeel_settings::ControlSettings;

/// Identities of the peers; shared by the tasks of one process.
#[derive(Clone)]
pub struct PeerDirectory {
    own: Rc<Cell<MemberId>>,
    formed: Rc<Cell<bool>>,
    cluster: Rc<str>,
    planned_voters: u32,
    /// The nodes that the settings list; none when any node of the cluster may join.
    nodes: Option<Rc<BTreeSet<NodeNumber>>>,
    /// The identity with the highest incarnation that each node has reported.
    latest: Rc<RefCell<BTreeMap<NodeNumber, PeerIdentity>>>,
}

impl PeerDirectory {
    pub fn new(settings: &ControlSettings, own: MemberId, formed: bool) -> Self {
        let listed = settings.other_peers().map(|peer| NodeNumber(peer.node)).collect();
        Self {
            own: Rc::new(Cell::new(own)),
            formed: Rc::new(Cell::new(formed)),
            cluster: settings.cluster.as_str().into(),
            planned_voters: checksum_of_voters(settings),
            nodes: settings.seeds.is_none().then(|| Rc::new(listed)),
            latest: Rc::default(),
        }
    }

    /// The identity that this process sends to peers.
    pub fn own_identity(&self) -> PeerIdentity {
        let own = self.own();
        PeerIdentity {
            node: own.node.0,
            incarnation: own.incarnation.0,
            formed: u8::from(self.formed.get()),
            planned_voters: self.planned_voters,
        }
    }

    /// The member that this process is.
    pub fn own(&self) -> MemberId {
        self.own.get()
    }

    /// Sets the identity of this process, when it was drawn anew.
    pub fn set_own(&self, own: MemberId) {
        self.own.set(own);
    }

    /// Whether the log of this process is known to hold entries.
    pub fn is_formed(&self) -> bool {
        self.formed.get()
    }

    /// Records that the log of this process holds entries.
    pub fn set_formed(&self) {
        self.formed.set(true);
    }

    pub fn hello(&self) -> PeerFrame {
        PeerFrame::Hello {
            protocol_version: PROTOCOL_VERSION,
            identity: self.own_identity(),
            cluster: self.cluster.as_bytes().to_vec(),
        }
    }

    /// Checks the handshake of a process that connected.
    ///
    /// # Errors
    /// A [`PeerRefusal`] for another protocol version or cluster, an unlisted node, or an outdated
    /// incarnation.
    pub fn check_hello(
        &self,
        protocol_version: u16,
        cluster: &[u8],
        identity: PeerIdentity,
    ) -> Result<(), PeerRefusal> {
        if protocol_version != PROTOCOL_VERSION {
            return Err(PeerRefusal::ProtocolVersion);
        }
        if cluster != self.cluster.as_bytes() {
            return Err(PeerRefusal::Cluster);
        }
        self.learn(identity)
    }

    /// Records the identity of a peer.
    ///
    /// # Errors
    /// A [`PeerRefusal`] if the node is unlisted or was seen with a newer incarnation.
    pub fn learn(&self, identity: PeerIdentity) -> Result<(), PeerRefusal> {
        let node = NodeNumber(identity.node);
        if self.nodes.as_ref().is_some_and(|nodes| !nodes.contains(&node)) {
            return Err(PeerRefusal::UnknownPeer);
        }
        let mut latest = self.latest.borrow_mut();
        if latest.get(&node).is_some_and(|known| known.incarnation > identity.incarnation) {
            return Err(PeerRefusal::EarlierIncarnation);
        }
        latest.insert(node, identity);
        Ok(())
    }

    /// The highest incarnation that a node has reported.
    pub fn latest_incarnation(&self, node: NodeNumber) -> Option<Incarnation> {
        self.latest.borrow().get(&node).map(|known| Incarnation(known.incarnation))
    }

    /// Whether the node was seen with a newer incarnation, that is, with a newer data folder.
    pub fn is_superseded(&self, member: MemberId) -> bool {
        self.latest_incarnation(member.node).is_some_and(|latest| latest > member.incarnation)
    }

    /// The latest identity of a peer, if its settings name the same voters.
    pub fn latest_with_same_voters(&self, node: NodeNumber) -> Option<PeerIdentity> {
        let latest = self.latest.borrow().get(&node).copied();
        latest.filter(|peer| peer.planned_voters == self.planned_voters)
    }

    /// All nodes that have identified themselves.
    pub fn known(&self) -> Vec<NodeNumber> {
        self.latest.borrow().keys().copied().collect()
    }

    /// The peers whose log holds entries.
    pub fn formed(&self) -> Vec<MemberId> {
        let latest = self.latest.borrow();
        latest.values().filter(|peer| peer.formed != 0).map(|peer| member(*peer)).collect()
    }
}

/// Checksum over the configured voters: peers with another one would form another cluster.
fn checksum_of_voters(settings: &ControlSettings) -> u32 {
    let listed = settings.peers.iter().filter(|peer| peer.voter).map(|peer| peer.node);
    let seeds = settings.seeds.iter().flat_map(|seeds| seeds.seed_numbers());
    let voters: BTreeSet<u32> = listed.chain(seeds).collect();
    let bytes: Vec<u8> = voters.iter().flat_map(|node| node.to_be_bytes()).collect();
    crc32fast::hash(&bytes)
}

/// The member that an identity stands for.
pub fn member(identity: PeerIdentity) -> MemberId {
    MemberId { node: NodeNumber(identity.node), incarnation: Incarnation(identity.incarnation) }
}
