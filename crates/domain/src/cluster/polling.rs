//! Which control process polls which leaf.

use crate::hash::hash;
use crate::identifiers::{ControlName, LeafId};

/// The control process that polls a leaf, by rendezvous hashing: when one goes, only its own
/// leaves move. None when there are no control processes.
pub fn assigned_poller<'name>(
    leaf: LeafId,
    controls: impl IntoIterator<Item = &'name ControlName>,
) -> Option<&'name ControlName> {
    let weight = |control: &ControlName| hash(control.as_str().as_bytes(), leaf.0.into());
    controls.into_iter().max_by_key(|control| (weight(control), control.as_str().to_owned()))
}
