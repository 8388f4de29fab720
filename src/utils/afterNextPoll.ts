/** Waits for the I/O events that are already pending. */

/**
 * Calls back after the event loop has polled for I/O once more. By then all events have been handled that the operating
 * system had reported before the call, such as the end of a connection behind the data that was just read from it.
 * @param callback - Called once, asynchronously.
 */
export function afterNextPoll(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
