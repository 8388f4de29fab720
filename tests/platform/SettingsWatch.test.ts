/** Changes of the settings file, with or without a signal. */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import t from 'tap';
import type {PlatformSettings} from '../../platform/settingsFile.js';
import {SettingsWatch} from '../../platform/SettingsWatch.js';
import {SETTINGS} from './platformFixtures.js';

function createWatch(t: Tap) {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  t.teardown(() => rmSync(folder, {recursive: true}));
  const path = join(folder, 'local.json');
  const write = (text: string) => writeFileSync(path, text);
  write(JSON.stringify(SETTINGS));
  const taken: PlatformSettings[] = [];
  const logged: string[] = [];
  const watch = new SettingsWatch({
    path,
    startedAtMs: 5,
    events: {log: event => void logged.push(event)},
    onChange: settings => taken.push(settings),
  });
  return {watch, write, taken, logged};
}

type Tap = Pick<typeof t, 'teardown'>;

t.test('SettingsWatch', t => {
  t.test('takes a changed file once', t => {
    const {watch, write, taken} = createWatch(t);
    watch.check();
    t.same(taken, []);
    write(JSON.stringify({...SETTINGS, seeds: ['10.9.9.9:1']}));
    watch.check();
    watch.check();
    t.equal(taken.length, 1);
    t.match(taken[0].gateway.gossipSeeds[0], /^10\.9\.9\.9:/);
    t.end();
  });
  t.test('keeps the former settings where the file is not valid, and says so once', t => {
    const {watch, write, taken, logged} = createWatch(t);
    write('{');
    watch.check();
    watch.check();
    t.same(taken, []);
    t.same(logged, ['settings rejected']);
    t.end();
  });
  t.end();
});
