/** Decides whether a call to a plain service may be repeated. */

/** Whether a server could resolve the path to another route, for example because of `..` or encoded slashes. */
export function isAmbiguousPath(path: string): boolean {
  return /\\|%2e|%2f|%5c|%00|\/\/|\/\.{1,2}(\/|$)/i.test(path);
}

/** Whether one of the routes (`METHOD /prefix`) covers the call. A prefix matches whole path segments only. */
export function isIdempotentRoute(routes: readonly string[], method: string, path: string): boolean {
  return routes.some((route) => {
    const separator = route.indexOf(' ');
    if (route.slice(0, separator).toUpperCase() !== method) {
      return false;
    }
    const prefix = route.slice(separator + 1).replace(/\/+$/, '');
    return path === prefix || path.startsWith(`${prefix}/`);
  });
}

/** Milliseconds since 1970 in a UUIDv7; undefined for any other key. */
export function uuidV7Time(key: string): number | undefined {
  return /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i.test(key)
    ? parseInt(key.slice(0, 8) + key.slice(9, 13), 16)
    : undefined;
}
