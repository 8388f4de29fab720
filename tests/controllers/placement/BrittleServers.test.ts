/** When a gateway holds its requests back from servers that crash if they have to refuse many. */
import t from 'tap';
import {BrittleServers} from '../../../src/controllers/placement/index.js';
import {createServer} from '../../exchange/exchangeFixtures.js';

const {entry} = createServer('s1');
const SERVER = {...entry, slots: 6, startedAtMs: 5};
const IDLE = {openRequests: 0, ownRequests: 0, ownSlots: 0};

t.test('BrittleServers', t => {
  t.test('nothing is held back from a server that does not say that it is brittle', t => {
    const servers = new BrittleServers();
    servers.applyResponse(SERVER, undefined, true, 0);
    t.equal(servers.getPauseMs(SERVER, {...IDLE, openRequests: 100}, 0), 0);
    t.end();
  });

  t.test('a refusal is followed by a pause, so that retries do not add to it', t => {
    const servers = new BrittleServers();
    servers.applyResponse(SERVER, 8, true, 0);
    servers.applyResponse(SERVER, 8, false, 300);
    t.equal(servers.getPauseMs(SERVER, IDLE, 400), 600, 'also after a response of another request');
    t.equal(servers.getPauseMs(SERVER, IDLE, 1_000), 0);
    t.end();
  });

  t.test(
    'a server that is more than a third full gets requests only for free slots of the gateway',
    t => {
      const servers = new BrittleServers();
      servers.applyResponse(SERVER, 8, false, 0);
      t.equal(servers.getPauseMs(SERVER, {...IDLE, openRequests: 1}, 0), 0);
      t.equal(servers.getPauseMs(SERVER, {...IDLE, openRequests: 2}, 0), 250);
      const owner = {openRequests: 5, ownRequests: 0, ownSlots: 1};
      t.equal(servers.getPauseMs(SERVER, owner, 0), 0);
      t.equal(servers.getPauseMs(SERVER, {...owner, ownRequests: 1}, 0), 250);
      t.equal(servers.getPauseMs(SERVER, {...owner, openRequests: 6}, 0), 250, 'none are free');
      t.end();
    },
  );

  t.test(
    'the statement ends with a response without it, with another start, and after a while',
    t => {
      const servers = new BrittleServers();
      servers.applyResponse(SERVER, 8, true, 0);
      t.equal(servers.getRefusalsPerSecond({...SERVER, startedAtMs: 6}, 0), undefined);
      t.equal(servers.getRefusalsPerSecond(SERVER, 5_000), 8);
      t.equal(servers.getRefusalsPerSecond(SERVER, 5_001), undefined);
      servers.applyResponse(SERVER, undefined, false, 100);
      t.equal(servers.getPauseMs(SERVER, IDLE, 100), 0);
      t.end();
    },
  );
  t.end();
});
