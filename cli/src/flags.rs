//! Command-line flags and their help texts.

use std::{net::SocketAddr, path::PathBuf};

use smol_str::SmolStr;

xflags::xflags! {
    /// Command-line tool for operators of wasabistall.
    ///
    /// Examples:
    ///     wasabistall settings check instance-1.jsonc
    ///     wasabistall --deployment deployment.json status
    ///     wasabistall --deployment deployment.json patch verify withdraw.json
    ///
    /// Exit codes: 0 success, 1 error, 2 the command found problems.
    cmd wasabistall {
        /// File with the addresses of the platform and the instances.
        /// Default: the environment variable WASABISTALL_DEPLOYMENT.
        optional --deployment deployment: PathBuf
        /// Output format: text or json. Default: text.
        optional --format format: String

        /// Validates settings files.
        cmd settings {
            /// Checks a settings file and reports all problems at once.
            cmd check {
                /// The file.
                required file: PathBuf
            }
        }
        /// Prints the table of error kinds.
        cmd errors {}
        /// Traces a request through the logs of the instances that handled it.
        cmd explain-request explain {
            /// Attempt id of the request.
            required attempt: String
            /// Log files. Default: standard input.
            repeated logs: PathBuf
        }
        /// Manages API keys of callers.
        cmd key {
            /// Generates a key and prints it once, with the configuration change that grants it.
            cmd generate {
                /// Id of the key. An id cannot be reused.
                required id: SmolStr
                /// Team that the key belongs to.
                required team: SmolStr
            }
        }
        /// Manages operator tokens.
        cmd token {
            /// Generates a token and prints it once, with its digest for the settings.
            cmd create {}
        }
        /// Creates, verifies and publishes configuration patches.
        cmd patch {
            /// Creates a patch against the newest version from changes in JSON.
            cmd make {
                /// Changes, such as '{"op":"withdraw_key","key":"elders-1"}'.
                repeated changes: String
                /// Author of the patch.
                required --author author: SmolStr
                /// Reason for the patch.
                optional --note note: SmolStr
            }
            /// Checks a patch against the newest version.
            cmd verify {
                /// File with the patch.
                required file: PathBuf
            }
            /// Appends a patch to the configuration log and prints whether it was accepted.
            cmd publish {
                /// File with the patch.
                required file: PathBuf
            }
            /// Shows whether a published patch was accepted.
            cmd explain {
                /// Sequence number of the patch in the configuration log.
                required sequence: u64
            }
        }
        /// Shows the configuration and its rollout.
        cmd config {
            /// Shows the configuration at a version.
            cmd show {
                /// The version. Default: the newest.
                optional --at version: u64
            }
            /// Follows the configuration version applied on each instance.
            cmd follow {
                /// Exits once all instances have applied this version or a newer one.
                optional --until version: u64
            }
        }
        /// Shows the status of all instances.
        cmd status {}
        /// Shows the usage counted by all instances.
        cmd usage {
            /// Groups the sums by owner, team, target or price. Default: owner.
            optional --by column: String
        }
        /// Inspects the routing of gateways.
        cmd route {
            /// Explains where an instance would route a request now, and why. Sends and counts nothing.
            cmd explain-route explain {
                /// Host of the request.
                required host: String
                /// Path of the request.
                required path: String
                /// Team whose key the request carries.
                optional --team team: String
                /// Model: MODEL or MODEL/ADAPTER.
                optional --model model: String
                /// Number of prompt tokens.
                optional --prompt-tokens tokens: String
                /// Maximum number of output tokens.
                optional --output-tokens tokens: String
                /// Operators' address of the instance. Default: taken from the deployment file.
                optional --address address: SocketAddr
                /// Instance in the deployment file. Default: the first.
                optional --instance instance: SmolStr
            }
        }
        /// Sends a completion request as a caller and prints the streamed response.
        cmd ask {
            /// Model: BASE or BASE:ADAPTER.
            required model: String
            /// The prompt.
            required prompt: String
            /// API key. Default: the environment variable WASABISTALL_KEY.
            optional --key key: String
            /// Maximum number of output tokens. Default: 16.
            optional --max-tokens tokens: u64
        }
    }
}
