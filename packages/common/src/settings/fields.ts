/** zod schemas of setting values. Each parses text and states the expected unit or format in its error. */
import * as net from 'node:net';
import * as z from 'zod';
import type { SettingsAddress } from './Types.js';

/** A whole number with a unit, between two bounds. */
export function wholeNumber(unit: string, minimum: number, maximum: number): z.ZodType<number, string> {
  const expected = `whole number of ${unit} from ${minimum} to ${maximum}`;
  return z
    .string()
    .regex(/^\d{1,15}$/, expected)
    .transform(Number)
    .refine((value) => value >= minimum && value <= maximum, expected);
}

/** A decimal number between two bounds, in any notation in which programs print numbers: 35.833333333333336, 1e-05. */
export function decimalNumber(unit: string, minimum: number, maximum: number): z.ZodType<number, string> {
  const expected = `${unit} from ${minimum} to ${maximum}`;
  return z
    .string()
    .regex(/^\d{1,15}(\.\d+)?(e[+-]?\d{1,3})?$/i, expected)
    .transform(Number)
    .refine((value) => value >= minimum && value <= maximum, expected);
}

/** A setting that counts as absent if it is empty, as where a template is filled in without a value. */
export function orEmpty<Value>(schema: z.ZodType<Value, string>): z.ZodType<Value | undefined, string | undefined> {
  return z
    .string()
    .optional()
    .transform((value, context) => {
      const parsed = value === undefined || value === '' ? undefined : schema.safeParse(value);
      for (const { message } of parsed?.error?.issues ?? []) {
        context.addIssue({ code: 'custom', message });
      }
      return parsed?.data;
    });
}

/** A name: letters, digits, `-`, `_` and `.`, starting with a letter or digit. */
export function identifier(): z.ZodType<string, string> {
  return z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, nameFormat);
}

/** Expected format of a name. */
export const nameFormat = 'name of 1 to 63 letters, digits, "-", "_" or ".", starting with a letter or digit';

/** One of several words. */
export function oneOf<Word extends string>(words: readonly [Word, ...Word[]]): z.ZodType<Word, string> {
  return z.enum(words, `one of ${words.join(', ')}`);
}

const addressFormat = 'IP address and port, for example 127.0.0.1:8080 or [::1]:8080';

/** An IP address with a port. Host names are refused, because no process resolves names. */
export function address(): z.ZodType<SettingsAddress, string> {
  return z.string().transform((text, context) => {
    const parsed = parseAddress(text);
    if (parsed) {
      return parsed;
    }
    context.addIssue({ code: 'custom', message: addressFormat });
    return z.NEVER;
  });
}

/** A list of addresses separated by commas; may be empty. */
export function addressList(): z.ZodType<readonly SettingsAddress[], string> {
  return z.string().transform((text, context) => {
    const addresses: SettingsAddress[] = [];
    for (const part of text.split(',').map((item) => item.trim())) {
      const parsed = parseAddress(part);
      if (parsed) {
        addresses.push(parsed);
      } else if (text.trim() !== '') {
        context.addIssue({ code: 'custom', message: `list of ${addressFormat}, separated by commas` });
        return z.NEVER;
      }
    }
    return addresses;
  });
}

/** An `http` URL whose host is an IP address. Trailing slashes are removed. */
export function httpUrl(): z.ZodType<string, string> {
  const expected = 'http URL with an IP address, for example http://127.0.0.1:8082';
  return z
    .string()
    .refine(isAddressUrl, expected)
    .transform((text) => text.replace(/\/+$/, ''));
}

/** SHA-256 hash in hexadecimal digits. */
export function sha256(): z.ZodType<string, string> {
  return z
    .string()
    .regex(/^[0-9a-fA-F]{64}$/, 'SHA-256 of the bearer key, 64 hexadecimal digits')
    .transform((text) => text.toLowerCase());
}

/** Parses `ip:port` or `[ipv6]:port`. */
export function parseAddress(text: string): SettingsAddress | undefined {
  const match = /^(?:\[([0-9a-fA-F:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  const family = match?.[1] === undefined ? 4 : 6;
  return net.isIP(host) === family && port >= 1 && port <= 65_535 ? { host, port } : undefined;
}

function isAddressUrl(text: string): boolean {
  if (!URL.canParse(text)) {
    return false;
  }
  const url = new URL(text);
  const bareUrl = url.username === '' && url.search === '' && url.hash === '';
  return url.protocol === 'http:' && bareUrl && net.isIP(url.hostname.replace(/^\[|\]$/g, '')) !== 0;
}

/** Non-empty text. */
export function text(): z.ZodType<string, string> {
  return z.string().min(1, 'text that is not empty');
}

/** A list of addresses separated by commas, kept as text. */
export function addressListText(): z.ZodType<string, string> {
  const expected = `list of ${addressFormat}, separated by commas`;
  return z.string().refine((list) => list.split(',').every((part) => parseAddress(part.trim())), expected);
}
