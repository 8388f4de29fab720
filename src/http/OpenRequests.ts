/** Counts the requests that this entry has open at each backend server. */
export class OpenRequests {
  private readonly counts = new Map<string, number>();

  /**
   * Notes a try that is sent to a backend server.
   * @param instanceId - The backend server.
   */
  addRequest(instanceId: string): void {
    this.counts.set(instanceId, this.getCount(instanceId) + 1);
  }

  /**
   * Notes the end of a try.
   * @param instanceId - The backend server.
   */
  removeRequest(instanceId: string): void {
    const count = this.getCount(instanceId) - 1;
    if (count > 0) this.counts.set(instanceId, count);
    else this.counts.delete(instanceId);
  }

  /**
   * Returns how many tries are open.
   * @param instanceId - The backend server.
   */
  getCount(instanceId: string): number {
    return this.counts.get(instanceId) ?? 0;
  }
}
