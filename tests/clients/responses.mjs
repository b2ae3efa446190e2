// Uses the stock client library against an entry VM: streaming, answers in
// one piece, retrieving, cancelling, and mapped errors.

import assert from "node:assert/strict";
import OpenAI from "openai";

const [, , url, key, model] = process.argv;
const client = new OpenAI({ baseURL: `${url}/v1`, apiKey: key, maxRetries: 0 });
let passed = 0;

async function check(name, work) {
  await work();
  passed += 1;
  console.log(`ok ${name}`);
}

await check("models are listed", async () => {
  const list = await client.models.list();
  assert.ok(list.data.some((entry) => entry.id === model));
});

await check("an answer in one piece", async () => {
  const response = await client.responses.create({
    model, input: "kind=verdict whole" });
  assert.equal(response.status, "completed");
  assert.match(response.output_text, /^t0\./);
});

await check("a streamed answer", async () => {
  const stream = await client.responses.create({
    model, input: "kind=verdict streamed", stream: true });
  let text = "";
  let completed = null;
  let next = 0;
  for await (const event of stream) {
    assert.equal(event.sequence_number, next);
    next += 1;
    if (event.type === "response.output_text.delta") text += event.delta;
    if (event.type === "response.completed") completed = event.response;
  }
  assert.equal(completed.output[0].content[0].text, text);
});

await check("retrieving", async () => {
  const made = await client.responses.create({
    model, input: "kind=verdict kept" });
  const found = await client.responses.retrieve(made.id);
  assert.equal(found.id, made.id);
  assert.equal(found.status, "completed");
});

await check("resuming a stream after an event", async () => {
  const made = await client.responses.create({
    model, input: "kind=verdict resumed" });
  const stream = await client.responses.retrieve(made.id, {
    stream: true, starting_after: 4 });
  let first = null;
  for await (const event of stream) first ??= event.sequence_number;
  assert.equal(first, 5);
});

await check("cancelling a background answer", async () => {
  const made = await client.responses.create({
    model, input: "kind=long cancelled 3", background: true });
  const cancelled = await client.responses.cancel(made.id);
  assert.ok(["cancelled", "completed"].includes(cancelled.status));
});

await check("errors are mapped", async () => {
  const stranger = new OpenAI({
    baseURL: `${url}/v1`, apiKey: "nobody", maxRetries: 0 });
  await assert.rejects(
    stranger.responses.create({ model, input: "x" }),
    OpenAI.AuthenticationError);
  await assert.rejects(
    client.responses.create({ model: "none", input: "x" }),
    OpenAI.NotFoundError);
  await assert.rejects(
    client.responses.create({ model }), OpenAI.BadRequestError);
  await assert.rejects(
    client.responses.retrieve("resp_forged"), OpenAI.NotFoundError);
});

console.log(`${passed} checks passed`);
