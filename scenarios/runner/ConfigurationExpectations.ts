/** Expectations about the configuration revisions in force at the entries. */
import type {Violations} from './CallExpectations.js';
import type {Publication} from './Operators.js';
import type {RevisionObservation} from './RevisionWatcher.js';
import type {ScenarioWorld} from './ScenarioWorld.js';

/**
 * Checks that every accepted configuration was in force at each live entry in time, and that no entry reverted to an older
 * revision.
 * @param withinMs - Maximum time from the acceptance of a configuration until it is in force.
 */
export function checkInForce(world: ScenarioWorld, withinMs: number): Violations {
  const observations = world.getWatcher().getObservations();
  const accepted = world
    .getOperators()
    .getPublications()
    .filter(({result}) => result.isAccepted);
  const late = world
    .getLiveEntries()
    .flatMap(({instanceId}) =>
      accepted.flatMap(publication => checkEntry(instanceId, publication, observations, withinMs)),
    );
  return [...late, ...checkMonotonic(observations)];
}

/** Checks that of the operators who published over the same revision, one won, and the others learned which one. */
export function checkRace(publications: readonly Publication[]): Violations {
  const revisions = [...new Set(publications.map(({result}) => result.revision))];
  return revisions.flatMap(revision => {
    const competing = publications.filter(({result}) => result.revision === revision);
    const winners = competing.filter(({result}) => result.isAccepted);
    if (winners.length !== 1) return [`${winners.length} of ${competing.length} operators won`];
    return competing
      .filter(({result}) => result.publishedBy !== winners[0].operator)
      .map(({operator, result}) => `${operator} was informed that ${result.publishedBy} won`);
  });
}

function checkEntry(
  instanceId: string,
  {publishedAtMs, result}: Publication,
  observations: readonly RevisionObservation[],
  withinMs: number,
): Violations {
  const first = observations.find(
    item => item.instanceId === instanceId && item.revision >= result.revision,
  );
  if (!first) return [`${instanceId} never reached revision ${result.revision}`];
  const tookMs = first.atMs - publishedAtMs;
  return tookMs > withinMs
    ? [`${instanceId} reached revision ${result.revision} after ${tookMs} ms`]
    : [];
}

/** Checks that no entry reverted; revision 0 is ignored, since a restarted process has no configuration at first. */
function checkMonotonic(observations: readonly RevisionObservation[]): Violations {
  const highest = new Map<string, number>();
  return observations.flatMap(({instanceId, revision}) => {
    const previousHighest = highest.get(instanceId) ?? 0;
    highest.set(instanceId, Math.max(previousHighest, revision));
    const isReverted = revision > 0 && revision < previousHighest;
    return isReverted
      ? [`${instanceId} reverted from revision ${previousHighest} to ${revision}`]
      : [];
  });
}
