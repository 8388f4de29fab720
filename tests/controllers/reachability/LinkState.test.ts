/** How rounds of probes decide whether the links to the backend servers are lost. */
import t from 'tap';
import {LinkState} from '../../../src/controllers/reachability/index.js';

t.test('LinkState', t => {
  t.test('links are lost as soon as a round finds most servers out of reach', t => {
    const links = new LinkState();
    t.notOk(links.apply({reached: 2, unreached: 3}), 'a failure domain may be down');
    t.notOk(links.isCutOff);
    t.ok(links.apply({reached: 1, unreached: 4}));
    t.ok(links.isCutOff);
    t.ok(links.reachesAny);
    t.end();
  });

  t.test('fewer than three servers prove nothing', t => {
    const links = new LinkState();
    t.notOk(links.apply({reached: 0, unreached: 2}));
    t.notOk(links.apply({reached: 0, unreached: 0}));
    t.notOk(links.isCutOff);
    t.end();
  });

  t.test('links are back after two good rounds one after the other', t => {
    const links = new LinkState();
    links.apply({reached: 0, unreached: 5});
    t.notOk(links.reachesAny);
    t.notOk(links.apply({reached: 5, unreached: 0}));
    t.notOk(links.apply({reached: 2, unreached: 3}), 'the link comes and goes');
    t.notOk(links.apply({reached: 3, unreached: 2}));
    t.ok(links.apply({reached: 4, unreached: 1}));
    t.notOk(links.isCutOff);
    t.end();
  });
  t.end();
});
