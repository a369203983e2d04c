//! Integration tests of freezes, the planner and the engine, with injected crashes and clock errors.

mod calendar;
mod common;
mod engine;
mod planner;
