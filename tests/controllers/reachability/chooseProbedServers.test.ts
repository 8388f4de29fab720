/** Which servers are probed to find out whether a gateway reaches them. */
import t from 'tap';
import {chooseProbedServers} from '../../../src/controllers/reachability/index.js';
import {createSeededRandom} from '../../../src/utils/index.js';
import {createServer} from '../../exchange/exchangeFixtures.js';

function server(id: string, failureDomain: string, fields = {}) {
  const known = createServer(id);
  return {...known, ...fields, entry: {...known.entry, failureDomain}};
}

t.test('chooseProbedServers', t => {
  t.test('takes servers of as many failure domains as possible', t => {
    const servers = [
      ...['s1', 's2', 's3', 's4', 's5', 's6'].map(id => server(id, 'a')),
      server('s7', 'b'),
      server('s8', 'c'),
    ];
    for (let seed = 1; seed <= 20; seed += 1) {
      const chosen = chooseProbedServers(servers, 4, createSeededRandom(seed));
      t.same(chosen.map(({entry}) => entry.failureDomain).sort(), ['a', 'a', 'b', 'c']);
    }
    t.end();
  });

  t.test('leaves out servers that may have stopped', t => {
    const draining = server('s1', 'a');
    const servers = [
      {...draining, entry: {...draining.entry, isDraining: true}},
      server('s2', 'b', {expiredAtMs: 5}),
      server('s3', 'c'),
    ];
    const chosen = chooseProbedServers(servers, 5, () => 0);
    t.same(
      chosen.map(({entry}) => entry.id),
      ['s3'],
    );
    t.end();
  });
  t.end();
});
