/** Tests of the settings' parsers and their messages. */
import t from 'tap';
import {parseHttpUrl, parsePort, parseSetting} from '../../src/settings/index.js';

t.test('parseSetting', t => {
  function doTest(name: string, text: string | undefined, expectedMessage: string | undefined) {
    t.test(name, t => {
      const definition = {
        flag: 'log-url',
        variable: 'BUCKTHORN_LOG_URL',
        description: 'Log',
        parse: parseHttpUrl,
      };
      if (expectedMessage === undefined) t.equal(parseSetting(definition, text), text);
      else t.throws(() => parseSetting(definition, text), {message: expectedMessage});
      t.end();
    });
  }

  doTest('takes a URL with an IP number', 'http://127.0.0.1:7000', undefined);
  doTest(
    'names flag and variable of a missing one',
    undefined,
    '--log-url (BUCKTHORN_LOG_URL) is missing',
  );
  doTest(
    'names the value with a host name',
    'http://log:7000',
    '--log-url (BUCKTHORN_LOG_URL): "http://log:7000" names the host "log" and not an IP number',
  );
  t.end();
});

t.test('parsePort', t => {
  t.equal(parsePort('8080'), 8080);
  t.throws(() => parsePort('80800'), {message: 'is not a whole number from 0 to 65535'});
  t.throws(() => parsePort(''), {message: 'is not a whole number from 0 to 65535'});
  t.end();
});
