/** Counts consecutive stalled connections, to distinguish a lost connection from an unresponsive backend server. */

/** Consecutive stalled connections from which on the backend server itself is considered unresponsive. */
const MAX_CONSECUTIVE_STALLS = 2;

/** Keeps the number of consecutive stalled connections for each backend server. */
export class StalledConnectionCounter {
  private readonly consecutiveStalls = new Map<string, number>();

  /**
   * Records a stalled connection.
   * @returns Whether the backend server is considered unresponsive; if not, only the connection is.
   */
  recordStall(instanceId: string): boolean {
    const stalls = (this.consecutiveStalls.get(instanceId) ?? 0) + 1;
    this.consecutiveStalls.set(instanceId, stalls);
    return stalls >= MAX_CONSECUTIVE_STALLS;
  }

  /** Resets the count, after a response on a connection that was opened after the last stall. */
  recordResponse(instanceId: string): void {
    this.consecutiveStalls.delete(instanceId);
  }
}
