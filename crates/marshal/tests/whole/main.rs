//! Whole marshals on loopback, among the toy's stand-ins.

mod answers;
mod bad_input;
mod outside;
mod reload;
mod support;
