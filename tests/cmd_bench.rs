//! The command line of `almondroad-bench`.

use std::process::{Command, Output};

fn bench(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_almondroad-bench")).args(arguments).output().unwrap()
}

/// Guards against a misspelt command or option that starts a fleet, or that ends without a word.
#[test]
fn usage_errors_exit_with_2() {
    for (arguments, expected) in [
        (&[][..], "name a command"),
        (&["runn"], "there is no command runn"),
        (&["list", "peak"], "unexpected argument peak"),
        (&["run"], "NAME is missing"),
        (&["run", "peek"], "no experiment is named peek; `almondroad-bench list` names them"),
        (&["run", "peak", "--sed", "1"], "unexpected argument --sed"),
    ] {
        let output = bench(arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{errors}");
        assert!(errors.starts_with(&format!("almondroad-bench: {expected}\n")), "{errors}");
    }
}
