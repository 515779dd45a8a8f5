import * as vitest from 'vitest';
import { httpUrl } from './httpUrl.js';

vitest.describe('httpUrl', () => {
  vitest.test.each([
    ['10.0.0.7', '10.0.0.7'],
    ['fd00::7', '[fd00::7]'],
  ])('keeps the port apart from the address %s (guards against an unreachable store)', (host, hostname) => {
    vitest.expect(new URL(httpUrl({ host, port: 9 }, '/a?b=1'))).toMatchObject({ hostname, port: '9', pathname: '/a' });
  });
});
