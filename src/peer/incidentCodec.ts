/** Converts incidents between the blackboard's type and the peer service's messages. */
import type {MessageInitShape} from '@bufbuild/protobuf';
import type {Incident, IncidentKind as IncidentKindName} from '../blackboard/index.js';
import {
  IncidentKind,
  type Incident as WireIncident,
  type IncidentSchema,
} from './generated/buckthorn/peer/v1/peer_pb.js';

const KINDS_TO_WIRE = {
  'bad-version': IncidentKind.BAD_VERSION,
  'poison-suspect': IncidentKind.POISON_SUSPECT,
  'poison-quarantined': IncidentKind.POISON_QUARANTINED,
  'cold-server': IncidentKind.COLD_SERVER,
  'leaving-server': IncidentKind.LEAVING_SERVER,
} as const satisfies Readonly<Record<IncidentKindName, IncidentKind>>;

const KINDS_FROM_WIRE: ReadonlyMap<IncidentKind, IncidentKindName> = new Map(
  Object.entries(KINDS_TO_WIRE).map(([name, kind]) => [kind, name as IncidentKindName]),
);

/** Converts an incident to a message; times are rounded to whole milliseconds. */
export function toWireIncident(incident: Incident): MessageInitShape<typeof IncidentSchema> {
  const {kind, subject, service, reporter, observedAtMs, expiresAtMs} = incident;
  return {
    kind: KINDS_TO_WIRE[kind],
    subject,
    service,
    reporter,
    observedAtMs: BigInt(Math.round(observedAtMs)),
    expiresAtMs: BigInt(Math.round(expiresAtMs)),
  };
}

/** Converts the incidents of a message; those of kinds unknown to this version are dropped. */
export function fromWireIncidents(incidents: readonly WireIncident[]): readonly Incident[] {
  return incidents.flatMap(({kind, subject, service, reporter, observedAtMs, expiresAtMs}) => {
    const name = KINDS_FROM_WIRE.get(kind);
    if (!name) return [];
    return [
      {
        kind: name,
        subject,
        service,
        reporter,
        observedAtMs: Number(observedAtMs),
        expiresAtMs: Number(expiresAtMs),
      },
    ];
  });
}
