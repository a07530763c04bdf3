//! What an engine holds, and the orders that change it.

use jacinthrock::{EngineOrder, FenceNumber, LayerIndex};

/// The model part that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineAssignment {
    /// Name of the model.
    pub model: Box<str>,
    /// Version of the model.
    pub version: Box<str>,
    /// First layer.
    pub first_layer: LayerIndex,
    /// Last layer.
    pub last_layer: LayerIndex,
    /// Highest fence seen in an order.
    pub fence: FenceNumber,
    /// Whether new work is refused.
    pub leaving: bool,
}

/// An order was refused because its fence is older than the highest seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("order has fence {order}, older than {seen}")]
pub struct StaleFence {
    /// Fence of the order.
    pub order: FenceNumber,
    /// Highest fence seen.
    pub seen: FenceNumber,
}

impl EngineAssignment {
    /// Obeys an order; tells whether the model part changed.
    pub fn obey(&mut self, order: &EngineOrder, checks_fence: bool) -> Result<bool, StaleFence> {
        if checks_fence && order.fence < self.fence {
            return Err(StaleFence { order: order.fence, seen: self.fence });
        }
        let changed =
            !self.holds(&order.model, &order.version, order.first_layer, order.last_layer);
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

    /// Whether this is exactly the model part that is held.
    pub fn holds(&self, model: &str, version: &str, first: LayerIndex, last: LayerIndex) -> bool {
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
