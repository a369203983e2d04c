//! Tests of the decision module through its interface, bench-free.

mod common;
mod gated;
mod judging;
mod limits;
mod rules;
mod shared;
mod thin;
