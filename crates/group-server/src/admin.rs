//! What operators ask of an instance's part in a group.

use serde::{Deserialize, Serialize};

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum Call {
    /// How this instance stands.
    Status,
    /// Hand leadership over.
    Transfer {
        /// To whom.
        to: u64,
    },
    /// Add a member.
    Add {
        /// Its number.
        member: u64,
        /// Where it listens.
        address: String,
    },
    /// Remove a member.
    Remove {
        /// Its number.
        member: u64,
    },
}
