/** Keeps the evidence that stands on the blackboard and spreads what this entry found. */
import type {Blackboard, Incident} from '../blackboard/index.js';
import type {QuarantineLedger} from '../controllers/quarantine/index.js';

/** Sends evidence to peers, and to the log where it must last; resolves when those that answer in time have it. */
export type IncidentSpreader = (incidents: readonly Incident[]) => Promise<void>;

/** Options of an `IncidentBoard`. */
export interface IncidentBoardOptions {
  readonly blackboard: Blackboard;
  readonly quarantine: QuarantineLedger;
  readonly getNowMs: () => number;
  /** Called with each incident of a peer that says that a backend server has turned cold. */
  readonly onReportedCold: (instanceId: string) => void;
  /** Called after incidents of peers or of the log that name requests which crash backend servers. */
  readonly onReportedPoison: () => void;
}

/** The one writer of the section of incidents. */
export class IncidentBoard {
  private readonly options: IncidentBoardOptions;
  private spread: IncidentSpreader = () => Promise.resolve();

  constructor(options: IncidentBoardOptions) {
    this.options = options;
  }

  /** Sets where this entry's own evidence goes. */
  setSpreader(spread: IncidentSpreader): void {
    this.spread = spread;
  }

  /**
   * Takes this entry's own evidence and spreads it.
   * @param incidents - The evidence.
   */
  async reportIncidents(incidents: readonly Incident[]): Promise<void> {
    this.write(incidents);
    await this.spread(incidents).catch(() => undefined);
  }

  /**
   * Takes evidence of peers or of the log.
   * @param incidents - The evidence.
   */
  addIncidents(incidents: readonly Incident[]): void {
    const {quarantine, getNowMs, onReportedCold, onReportedPoison} = this.options;
    for (const incident of incidents) {
      quarantine.addIncident(incident, getNowMs());
      if (incident.kind === 'cold-server') onReportedCold(incident.subject);
    }
    this.write(incidents);
    if (incidents.some(isAboutPoison)) onReportedPoison();
  }

  /** Drops evidence that has lapsed. */
  removeExpired(): void {
    this.options.quarantine.removeExpired(this.options.getNowMs());
    this.write([]);
  }

  private write(added: readonly Incident[]): void {
    const {blackboard, getNowMs} = this.options;
    const nowMs = getNowMs();
    const known = blackboard.getSection('incidents').incidents;
    const byKey = new Map(known.map(incident => [getKey(incident), incident]));
    for (const incident of added) {
      const earlier = byKey.get(getKey(incident));
      if (!earlier || earlier.observedAtMs <= incident.observedAtMs) {
        byKey.set(getKey(incident), incident);
      }
    }
    const incidents = [...byKey.values()].filter(({expiresAtMs}) => expiresAtMs > nowMs);
    if (added.length === 0 && incidents.length === known.length) return;
    blackboard.setSection('incidents', {incidents});
  }
}

function isAboutPoison({kind}: Incident): boolean {
  return kind === 'poison-suspect' || kind === 'poison-quarantined';
}

function getKey({kind, service, subject, reporter}: Incident): string {
  return JSON.stringify([kind, service, subject, reporter]);
}
