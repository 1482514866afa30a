"""pistachioshed: a layer-4 load balancer whose fleet follows one table per service."""
