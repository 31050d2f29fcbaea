use std::{
    fmt::Display,
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
    pub fn print<T: Display, O: Serialize>(
        &self,
        entries: Vec<T>,
        wrap: impl FnOnce(Vec<T>) -> O,
    ) -> eyre::Result<()> {
        let mut out = io::stdout().lock();
        if self.json {
            serde_json::to_writer_pretty(&mut out, &wrap(entries)).map_err(io::Error::from)?;
            writeln!(out)?;
        } else {
            for entry in entries {
                writeln!(out, "{entry}")?;
            }
        }
        out.flush()?;
        Ok(())
    }
}
