//! Verdicts over gRPC, by the published protocol `proto/verdict.proto`: the thin part around `milletwing-processor`.
//!
//! `settings` is the operator's file, `told` what the parts say to each other, `front` the thread that owns the table and speaks with the decision thread, `service`
//! the streams, on a runtime and a thread of their own.

pub mod front;
pub mod service;
pub mod settings;
mod told;

/// The protocol's messages, as they are generated from the published file.
#[allow(missing_docs, clippy::all)]
pub mod wire {
    tonic::include_proto!("milletwing.verdict.v1");
}

pub use front::Front;
pub use settings::Settings;
