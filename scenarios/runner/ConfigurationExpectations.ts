/** Expectations about the configuration in force. */
import type {Findings} from './CallExpectations.js';
import type {Publication} from './Operators.js';
import type {SeenRevision} from './RevisionWatcher.js';
import type {ScenarioWorld} from './ScenarioWorld.js';

/**
 * Checks that every accepted configuration showed at each live entry in time, and that none went back.
 * @param world - The running scenario.
 * @param withinMs - Longest time from the verdict until a configuration is in force.
 */
export function checkInForce(world: ScenarioWorld, withinMs: number): Findings {
  const seen = world.getWatcher().getSeen();
  const accepted = world
    .getOperators()
    .getPublications()
    .filter(({result}) => result.isAccepted);
  const late = world
    .getLiveEntries()
    .flatMap(({instanceId}) =>
      accepted.flatMap(publication => checkEntry(instanceId, publication, seen, withinMs)),
    );
  return [...late, ...checkMonotonic(seen)];
}

/** Checks that of operators who published over the same revision one won, and the others were told by whom. */
export function checkRace(publications: readonly Publication[]): Findings {
  const revisions = [...new Set(publications.map(({result}) => result.revision))];
  return revisions.flatMap(revision => {
    const rivals = publications.filter(({result}) => result.revision === revision);
    const winners = rivals.filter(({result}) => result.isAccepted);
    if (winners.length !== 1) return [`${winners.length} of ${rivals.length} operators won`];
    return rivals
      .filter(({result}) => result.publishedBy !== winners[0].operator)
      .map(({operator, result}) => `${operator} was told that ${result.publishedBy} won`);
  });
}

function checkEntry(
  instanceId: string,
  {publishedAtMs, result}: Publication,
  seen: readonly SeenRevision[],
  withinMs: number,
): Findings {
  const first = seen.find(
    item => item.instanceId === instanceId && item.revision >= result.revision,
  );
  if (!first) return [`${instanceId} never had revision ${result.revision}`];
  const tookMs = first.atMs - publishedAtMs;
  return tookMs > withinMs
    ? [`${instanceId} had revision ${result.revision} after ${tookMs} ms`]
    : [];
}

/** A process that starts again begins without a configuration; only a lower revision above 0 goes back. */
function checkMonotonic(seen: readonly SeenRevision[]): Findings {
  const highest = new Map<string, number>();
  return seen.flatMap(({instanceId, revision}) => {
    const before = highest.get(instanceId) ?? 0;
    highest.set(instanceId, Math.max(before, revision));
    const isBack = revision > 0 && revision < before;
    return isBack ? [`${instanceId} went back from revision ${before} to ${revision}`] : [];
  });
}
