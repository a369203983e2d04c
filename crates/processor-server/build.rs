//! Compiles the published protocol; protox needs no protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=../../proto");
    let files = protox::compile(["verdict.proto"], ["../../proto"])?;
    tonic_prost_build::configure().compile_fds(files)?;
    Ok(())
}
