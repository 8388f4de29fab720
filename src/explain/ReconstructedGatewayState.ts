/** Reconstructs the state that a gateway had at some point in time from its log. */
import type {LoggedEvent, LoggedFields} from './LoggedEvent.js';

/** A logged change of a backend server's registration. */
export interface ServerChange {
  readonly atMs: number;
  /** Kind of change, such as `added` or `draining`. */
  readonly change: string;
  /** Id of the gateway that reported the change; undefined if the log names none. */
  readonly reportedBy: string | undefined;
}

/** State of one gateway after the last applied log event. */
export class ReconstructedGatewayState {
  private configurationVersion: number | undefined;
  private readonly evacuatedDomains = new Set<string>();
  private readonly unreachableTopicsSinceMs = new Map<string, number>();
  private readonly availableServers = new Map<string, string>();
  private readonly changesByServer = new Map<string, ServerChange[]>();

  /** Applies the next log event of the gateway; events must be applied in chronological order. */
  apply({atMs, event, fields}: LoggedEvent): void {
    if (event === 'started') this.clear();
    else if (event === 'configuration in force') this.configurationVersion = fields.version;
    else if (event === 'store lost') this.unreachableTopicsSinceMs.set(fields.topic ?? '', atMs);
    else if (event === 'store regained') this.unreachableTopicsSinceMs.delete(fields.topic ?? '');
    else if (event === 'evacuation') this.applyEvacuation(fields);
    else if (event === 'backend server') this.applyServer(atMs, fields);
  }

  /**
   * Returns the state as one line of text.
   * @param nowMs - Unix time in milliseconds up to which the duration of store outages is calculated.
   */
  formatState(nowMs: number): string {
    const version = this.configurationVersion ?? 'unknown';
    const lost = [...this.unreachableTopicsSinceMs].map(
      ([topic, atMs]) => `${topic} for ${nowMs - atMs} ms`,
    );
    return [
      `configuration ${version}`,
      `${this.availableServers.size} backend servers (${this.countByService()})`,
      ...(lost.length > 0 ? [`store lost: ${lost.join(', ')}`] : []),
      ...(this.evacuatedDomains.size > 0
        ? [`evacuated: ${[...this.evacuatedDomains].join(', ')}`]
        : []),
    ].join('; ');
  }

  /** Returns the logged changes of a backend server, oldest first, including those before a restart of the gateway. */
  getChanges(serverId: string): readonly ServerChange[] {
    return this.changesByServer.get(serverId) ?? [];
  }

  private clear(): void {
    this.configurationVersion = undefined;
    this.evacuatedDomains.clear();
    this.unreachableTopicsSinceMs.clear();
    this.availableServers.clear();
  }

  private applyEvacuation({failureDomain = '', isEvacuated}: LoggedFields): void {
    if (isEvacuated === true) this.evacuatedDomains.add(failureDomain);
    else this.evacuatedDomains.delete(failureDomain);
  }

  private applyServer(
    atMs: number,
    {server = '', change = '', service, toldBy}: LoggedFields,
  ): void {
    const lines = this.changesByServer.get(server) ?? [];
    lines.push({atMs, change, reportedBy: toldBy});
    this.changesByServer.set(server, lines);
    if (change === 'added') this.availableServers.set(server, service ?? '');
    else if (change !== 'changed') this.availableServers.delete(server);
  }

  private countByService(): string {
    const counts = new Map<string, number>();
    for (const service of this.availableServers.values()) {
      counts.set(service, (counts.get(service) ?? 0) + 1);
    }
    return [...counts].map(([service, count]) => `${service} ${count}`).join(', ') || 'none';
  }
}
