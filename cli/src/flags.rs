//! The command line.

use std::path::PathBuf;

use smol_str::SmolStr;

xflags::xflags! {
    /// Operators' tool of wasabistall.
    ///
    /// Examples:
    ///     wasabistall settings check instance-1.jsonc
    ///     wasabistall --deployment deployment.json status
    ///     wasabistall --deployment deployment.json patch verify withdraw.json
    ///
    /// Exit codes: 0 fine, 1 error, 2 the command found faults.
    cmd wasabistall {
        /// File that names the platform's and the instances' addresses.
        /// Default: the environment variable WASABISTALL_DEPLOYMENT.
        optional --deployment deployment: PathBuf
        /// Output format: text or json. Default: text.
        optional --format format: String

        /// Works on settings files.
        cmd settings {
            /// Checks a settings file and shows all faults at once.
            cmd check {
                /// The file.
                required file: PathBuf
            }
        }
        /// Prints the table of error kinds.
        cmd errors {}
        /// Explains what became of a request, from the logs of the instances that it passed.
        cmd explain-request explain {
            /// Identity of the caller's attempt.
            required attempt: String
            /// Log files. Default: standard input.
            repeated logs: PathBuf
        }
        /// Works on callers' keys.
        cmd key {
            /// Makes a key: shows it once, with the change that grants it.
            cmd generate {
                /// Id of the key; it is never granted twice.
                required id: SmolStr
                /// The team that the key opens.
                required team: SmolStr
            }
        }
        /// Works on operators' tokens.
        cmd token {
            /// Makes a token: shows it once, with the digest for the settings.
            cmd create {}
        }
        /// Works on configuration patches.
        cmd patch {
            /// Makes a patch against the newest version from changes in JSON.
            cmd make {
                /// Changes, such as '{"op":"withdraw_key","key":"elders-1"}'.
                repeated changes: String
                /// Who makes it.
                required --author author: SmolStr
                /// What it is for.
                optional --note note: SmolStr
            }
            /// Checks a patch against the newest version.
            cmd verify {
                /// File with the patch.
                required file: PathBuf
            }
            /// Publishes a patch through the platform and waits for its outcome.
            cmd publish {
                /// File with the patch.
                required file: PathBuf
            }
            /// Explains what became of a patch.
            cmd explain {
                /// Its position in the log.
                required sequence: u64
            }
        }
        /// Shows the configuration.
        cmd config {
            /// Shows the configuration at a version.
            cmd show {
                /// The version. Default: the newest.
                optional --at version: u64
            }
            /// Shows what is in force on each instance.
            cmd follow {
                /// Ends when all instances have this version in force.
                optional --until version: u64
            }
        }
        /// Shows the state of all instances.
        cmd status {}
        /// Shows usage counted by all instances.
        cmd usage {
            /// Sums by owner, team, target or price. Default: owner.
            optional --by column: String
        }
        /// Sends a completion as a caller and prints the streamed answer.
        cmd ask {
            /// Model: BASE or BASE:ADAPTER.
            required model: String
            /// The prompt.
            required prompt: String
            /// The key. Default: the environment variable WASABISTALL_KEY.
            optional --key key: String
            /// Most output tokens. Default: 16.
            optional --max-tokens tokens: u64
        }
    }
}
