/**
 * Event streams, based on the library `most`. A topic is the publishing side;
 * code that only subscribes gets its stream.
 */
import {from, type Stream} from 'most';

/** Publishes values to any number of subscribers; `end` completes the stream. */
export interface Topic<Value> {
  readonly stream: Stream<Value>;
  publish(value: Value): void;
  end(): void;
}

interface Subscriber<Value> {
  next(value: Value): void;
  complete(): void;
}

/** `Symbol.observable`, which `most` defines if the runtime has none. */
const OBSERVABLE = (Symbol as unknown as {readonly observable: symbol})
  .observable;

/**
 * Creates a topic. Subscribers get the values that are published after they
 * subscribed; earlier values are not replayed.
 */
export function createTopic<Value>(): Topic<Value> {
  const subscribers = new Set<Subscriber<Value>>();
  const observable = {
    subscribe(subscriber: Subscriber<Value>) {
      subscribers.add(subscriber);
      return {unsubscribe: () => subscribers.delete(subscriber)};
    },
    [OBSERVABLE]() {
      return this;
    },
  };
  return {
    stream: from(observable as unknown as ArrayLike<Value>),
    publish: value => {
      for (const subscriber of subscribers) subscriber.next(value);
    },
    end: () => {
      for (const subscriber of subscribers) subscriber.complete();
      subscribers.clear();
    },
  };
}
