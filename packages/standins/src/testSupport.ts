/** A response with its parsed JSON body. */
export interface JsonResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Sends a request to a stand-in. A body that is not a string is sent as JSON. */
export async function call(
  standIn: { readonly port: number },
  method: string,
  path: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<JsonResponse> {
  const response = await fetch(`http://127.0.0.1:${standIn.port}${path}`, {
    method,
    headers,
    ...(body === undefined ? {} : { body: typeof body === 'string' ? body : JSON.stringify(body) }),
  });
  const text = await response.text();
  return { status: response.status, body: text === '' ? undefined : (JSON.parse(text) as unknown) };
}
