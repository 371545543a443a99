//! Assignment of leaves to the control processes that poll them.

use crate::hash::hash;
use crate::identifiers::{ControlName, LeafId};

/// The control process that polls a leaf; `None` when there are no control processes.
///
/// Rendezvous hashing keeps assignments stable: when a control process leaves, only its own leaves
/// are reassigned.
pub fn assigned_poller<'name>(
    leaf: LeafId,
    controls: impl IntoIterator<Item = &'name ControlName>,
) -> Option<&'name ControlName> {
    let weight = |control: &ControlName| hash(control.as_str().as_bytes(), leaf.0.into());
    controls.into_iter().max_by_key(|control| (weight(control), control.as_str().to_owned()))
}
