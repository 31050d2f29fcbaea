use std::{
    fmt::{Display, Write as _},
    fs,
    io::{self, Read, Write},
    path::Path,
};

use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::{WrapErr, eyre};
use pollenshed_state::config::{self, Config};
use serde::Serialize;

/// Options that all subcommands share. It opens everything that a subcommand reads or writes.
pub struct Options {
    json: bool,
}

impl Options {
    /// Adds the shared options to a subcommand.
    pub fn declare(command: Command) -> Command {
        let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
        command.arg(json.help("Prints one JSON object for scripts instead of lines"))
    }

    /// Takes the shared options from the arguments of a subcommand.
    pub fn new(args: &ArgMatches) -> Options {
        Options { json: args.get_flag("json") }
    }

    /// Reads a file and returns it with its name; `-` is standard input.
    pub fn read(&self, path: &Path) -> eyre::Result<(String, String)> {
        let name = path.display().to_string();
        let text = if name == "-" {
            let mut text = String::new();
            io::stdin().read_to_string(&mut text).map(|_| text)
        } else {
            fs::read_to_string(path)
        };
        let text = text.wrap_err_with(|| format!("cannot read {name}"))?;
        Ok((name, text))
    }

    /// Reads and checks a configuration.
    pub fn read_config(&self, path: &Path) -> eyre::Result<Config> {
        let (name, text) = self.read(path)?;
        config::parse(&name, &text).map_err(|findings| eyre!("{name} is not accepted\n{findings}"))
    }

    /// Prints one line for each entry, or with `--json` the object that `wrap` makes of them.
    ///
    /// A reader that closes the pipe early, as `head` does, is no error, so that the exit code still
    /// tells the result.
    pub fn print<T: Display, O: Serialize>(
        &self,
        entries: Vec<T>,
        wrap: impl FnOnce(Vec<T>) -> O,
    ) -> eyre::Result<()> {
        let mut text = String::new();
        if self.json {
            text = serde_json::to_string_pretty(&wrap(entries))? + "\n";
        } else {
            for entry in entries {
                writeln!(text, "{entry}")?;
            }
        }
        let mut out = io::stdout().lock();
        match out.write_all(text.as_bytes()).and_then(|()| out.flush()) {
            Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
            result => result.wrap_err("cannot write to standard output"),
        }
    }
}
