//! Tests of the decision module through its public interface.

mod common;
mod evidence;
mod group_decisions;
mod limits;
mod many_marshals;
mod permits;
mod rules;
