//! The simulator's wire as a pure codec, and the hosting of marshals on it. No decision is taken here.

pub mod codec;
pub mod host;
