/** Counts silent connections in a row, to tell a lost connection from a backend server that hangs. */

/** Silent connections in a row that count against the backend server itself. */
const MAX_SILENCES_IN_ROW = 2;

/** Counts by backend server. */
export class SilenceCounter {
  private readonly silencesInRow = new Map<string, number>();

  /**
   * Notes a silent connection.
   * @param instanceId - The backend server.
   * @returns Whether it counts against the backend server.
   */
  addSilence(instanceId: string): boolean {
    const silences = (this.silencesInRow.get(instanceId) ?? 0) + 1;
    this.silencesInRow.set(instanceId, silences);
    return silences >= MAX_SILENCES_IN_ROW;
  }

  /**
   * Notes that a connection opened since the last silence has answered.
   * @param instanceId - The backend server.
   */
  addAnswer(instanceId: string): void {
    this.silencesInRow.delete(instanceId);
  }
}
