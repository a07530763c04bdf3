//! Model part assigned to an engine, and the orders that change it.

use jacinthrock::{EngineOrder, FenceNumber, LayerIndex};

/// Model part that an engine holds, and whether it accepts requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineAssignment {
    /// Name of the model.
    pub model: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// First layer held.
    pub first_layer: LayerIndex,
    /// Last layer held, inclusive.
    pub last_layer: LayerIndex,
    /// Highest fence of any order so far.
    pub fence: FenceNumber,
    /// Whether the engine is draining and refuses new requests.
    pub leaving: bool,
}

/// Refusal of an order whose fence is lower than the highest one seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("order has fence {order}, older than {seen}")]
pub struct StaleFence {
    /// Fence of the refused order.
    pub order: FenceNumber,
    /// Highest fence seen.
    pub seen: FenceNumber,
}

impl EngineAssignment {
    /// Applies an order and returns whether the model part changed.
    pub fn apply(&mut self, order: &EngineOrder, checks_fence: bool) -> Result<bool, StaleFence> {
        if checks_fence && order.fence < self.fence {
            return Err(StaleFence { order: order.fence, seen: self.fence });
        }
        let changed =
            !self.matches(&order.model, &order.version, order.first_layer, order.last_layer);
        *self = Self {
            model: order.model.clone(),
            version: order.version.clone(),
            first_layer: order.first_layer,
            last_layer: order.last_layer,
            fence: self.fence.max(order.fence),
            leaving: order.leaving,
        };
        Ok(changed)
    }

    /// Whether the engine holds exactly this model part.
    pub fn matches(&self, model: &str, version: &str, first: LayerIndex, last: LayerIndex) -> bool {
        *self.model == *model
            && *self.version == *version
            && self.first_layer == first
            && self.last_layer == last
    }

    /// Number of layers held.
    pub fn layers(&self) -> u32 {
        u32::from(self.last_layer - self.first_layer) + 1
    }
}
