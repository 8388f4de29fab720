/** Maintains the incidents on the blackboard and broadcasts those that this entry observed. */
import type {Blackboard, Incident} from '../blackboard/index.js';
import type {QuarantineLedger} from '../controllers/quarantine/index.js';

/**
 * Sends incidents to the peers, and to the log those that must be durable; resolves when the peers that respond in time
 * have them.
 */
export type IncidentBroadcaster = (incidents: readonly Incident[]) => Promise<void>;

/** Options of an `IncidentBoard`. */
export interface IncidentBoardOptions {
  readonly blackboard: Blackboard;
  readonly quarantine: QuarantineLedger;
  readonly getNowMs: () => number;
  /** Called for each incident of a peer that reports a cold backend server. */
  readonly onReportedCold: (instanceId: string) => void;
  /** Called after incidents of peers or of the log about requests that crash backend servers were added. */
  readonly onReportedPoison: () => void;
}

/** The only writer of the blackboard's `incidents` section. */
export class IncidentBoard {
  private readonly options: IncidentBoardOptions;
  private broadcast: IncidentBroadcaster = () => Promise.resolve();

  constructor(options: IncidentBoardOptions) {
    this.options = options;
  }

  /** Sets the function that broadcasts this entry's incidents; without it they stay local. */
  setBroadcaster(broadcast: IncidentBroadcaster): void {
    this.broadcast = broadcast;
  }

  /** Adds incidents that this entry observed and broadcasts them; a failed broadcast is ignored. */
  async reportIncidents(incidents: readonly Incident[]): Promise<void> {
    this.write(incidents);
    await this.broadcast(incidents).catch(() => undefined);
  }

  /** Adds incidents received from peers or read from the log, also to the quarantine. */
  addIncidents(incidents: readonly Incident[]): void {
    const {quarantine, getNowMs, onReportedCold, onReportedPoison} = this.options;
    for (const incident of incidents) {
      quarantine.addIncident(incident, getNowMs());
      if (incident.kind === 'cold-server') onReportedCold(incident.subject);
    }
    this.write(incidents);
    if (incidents.some(isAboutPoison)) onReportedPoison();
  }

  /** Removes expired incidents, here and in the quarantine. */
  removeExpired(): void {
    this.options.quarantine.removeExpired(this.options.getNowMs());
    this.write([]);
  }

  private write(added: readonly Incident[]): void {
    const {blackboard, getNowMs} = this.options;
    const nowMs = getNowMs();
    const present = blackboard.getSection('incidents').incidents;
    const byKey = new Map(present.map(incident => [getKey(incident), incident]));
    for (const incident of added) {
      const earlier = byKey.get(getKey(incident));
      if (!earlier || earlier.observedAtMs <= incident.observedAtMs) {
        byKey.set(getKey(incident), incident);
      }
    }
    const incidents = [...byKey.values()].filter(({expiresAtMs}) => expiresAtMs > nowMs);
    if (added.length === 0 && incidents.length === present.length) return;
    blackboard.setSection('incidents', {incidents});
  }
}

function isAboutPoison({kind}: Incident): boolean {
  return kind === 'poison-suspect' || kind === 'poison-quarantined';
}

function getKey({kind, service, subject, reporter}: Incident): string {
  return JSON.stringify([kind, service, subject, reporter]);
}
