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

/// Options that all subcommands share. Subcommands read files and print results through this type.
pub struct Options {
    json: bool,
}

impl Options {
    /// Adds the shared options to a subcommand.
    pub fn declare(command: Command) -> Command {
        let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
        command.arg(json.help("Prints one JSON object for scripts instead of lines"))
    }

    /// Reads the shared options from the arguments of a subcommand.
    pub fn new(args: &ArgMatches) -> Options {
        Options { json: args.get_flag("json") }
    }

    /// Returns the name and the text of a file; `-` is standard input.
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

    /// Reads a configuration. Returns its findings as an error if it is not accepted.
    pub fn read_config(&self, path: &Path) -> eyre::Result<Config> {
        let (name, text) = self.read(path)?;
        config::parse(&name, &text).map_err(|findings| eyre!("{name} is not accepted\n{findings}"))
    }

    /// Prints one line for each entry, or with `--json` the object that `wrap` builds from them.
    ///
    /// A broken pipe, as caused by `head`, is no error, so that the exit code still shows the
    /// result.
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
