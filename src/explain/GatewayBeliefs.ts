/** What one gateway believed, rebuilt from its log. */
import type {LoggedEvent, LoggedFields} from './LoggedEvent.js';

/** A change of a backend server as a gateway logged it. */
export interface ServerChangeLine {
  readonly atMs: number;
  readonly change: string;
  readonly toldBy: string | undefined;
}

/** State of one gateway at the instant of the last applied line. */
export class GatewayBeliefs {
  private configurationVersion: number | undefined;
  private readonly evacuated = new Set<string>();
  private readonly lostSinceMs = new Map<string, number>();
  private readonly openServers = new Map<string, string>();
  private readonly changes = new Map<string, ServerChangeLine[]>();

  /**
   * Takes the next line of the gateway.
   * @param line - The line.
   */
  apply({atMs, event, fields}: LoggedEvent): void {
    if (event === 'started') this.clear();
    else if (event === 'configuration in force') this.configurationVersion = fields.version;
    else if (event === 'store lost') this.lostSinceMs.set(fields.topic ?? '', atMs);
    else if (event === 'store regained') this.lostSinceMs.delete(fields.topic ?? '');
    else if (event === 'evacuation') this.applyEvacuation(fields);
    else if (event === 'backend server') this.applyServer(atMs, fields);
  }

  /**
   * Returns what was believed, as one line.
   * @param nowMs - Instant for which it is told.
   */
  describe(nowMs: number): string {
    const version = this.configurationVersion ?? 'unknown';
    const lost = [...this.lostSinceMs].map(([topic, atMs]) => `${topic} for ${nowMs - atMs} ms`);
    return [
      `configuration ${version}`,
      `${this.openServers.size} backend servers (${this.countByService()})`,
      ...(lost.length > 0 ? [`store lost: ${lost.join(', ')}`] : []),
      ...(this.evacuated.size > 0 ? [`evacuated: ${[...this.evacuated].join(', ')}`] : []),
    ].join('; ');
  }

  /**
   * Returns the logged changes of a backend server, oldest first.
   * @param serverId - The server.
   */
  getChanges(serverId: string): readonly ServerChangeLine[] {
    return this.changes.get(serverId) ?? [];
  }

  private clear(): void {
    this.configurationVersion = undefined;
    this.evacuated.clear();
    this.lostSinceMs.clear();
    this.openServers.clear();
  }

  private applyEvacuation({failureDomain = '', isEvacuated}: LoggedFields): void {
    if (isEvacuated === true) this.evacuated.add(failureDomain);
    else this.evacuated.delete(failureDomain);
  }

  private applyServer(
    atMs: number,
    {server = '', change = '', service, toldBy}: LoggedFields,
  ): void {
    const lines = this.changes.get(server) ?? [];
    lines.push({atMs, change, toldBy});
    this.changes.set(server, lines);
    if (change === 'added') this.openServers.set(server, service ?? '');
    else if (change !== 'changed') this.openServers.delete(server);
  }

  private countByService(): string {
    const counts = new Map<string, number>();
    for (const service of this.openServers.values()) {
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    return [...counts].map(([service, count]) => `${service} ${count}`).join(', ') || 'none';
  }
}
