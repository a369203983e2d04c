//! Complete marshals on loopback, with the toy package as the other parties.

mod answers;
mod bad_input;
mod outside;
mod reload;
mod support;
