//! Detection of output that stalls.
//!
//! A sound server may send nothing for a while and then go on. A stall is therefore reported and
//! ends nothing: whoever handles the report may look for another server meanwhile.

use {
    std::{pin::pin, time::Duration},
    tokio::time::timeout,
};

/// Waits for `output`, and calls `on_stall` each time that `limit` passes without it.
pub(super) async fn with_stall_reports<T>(
    limit: Option<Duration>,
    output: impl Future<Output = T>,
    mut on_stall: impl FnMut(Duration),
) -> T {
    let Some(limit) = limit else {
        return output.await;
    };
    let mut output = pin!(output);
    loop {
        match timeout(limit, &mut output).await {
            Ok(result) => return result,
            Err(_) => on_stall(limit),
        }
    }
}
