/** Chooses the backend servers that show whether a gateway reaches them. */
import type {KnownServer} from '../../catalog/index.js';

/**
 * Returns servers of as many failure domains as possible, so that the loss of one domain isn't taken for a lost link of
 * the gateway.
 * @param servers - All known servers; draining and expired ones may have stopped, and are left out.
 * @param count - Largest number of servers to return.
 * @param random - Returns a random number from 0 to less than 1.
 */
export function chooseProbedServers(
  servers: readonly KnownServer[],
  count: number,
  random: () => number,
): readonly KnownServer[] {
  const ranked = servers
    .filter(({entry, expiredAtMs}) => !entry.isDraining && expiredAtMs === undefined)
    .map(server => ({server, rank: random()}))
    .sort((a, b) => a.rank - b.rank)
    .map(({server}) => server);
  const chosenPerDomain = new Map<string, number>();
  const rounds = ranked.map(server => {
    const {failureDomain} = server.entry;
    const round = chosenPerDomain.get(failureDomain) ?? 0;
    chosenPerDomain.set(failureDomain, round + 1);
    return {server, round};
  });
  return rounds
    .sort((a, b) => a.round - b.round)
    .slice(0, count)
    .map(({server}) => server);
}
